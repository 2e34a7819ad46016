/** @file key_type.h What the tables of keys say about a key. */
#ifndef WAXWING_CONFIG_KEY_TYPE_H
#define WAXWING_CONFIG_KEY_TYPE_H

#include "config/config_type.h"

#include <span>
#include <string_view>
#include <variant>

namespace waxwing {

/** The sorts of objects, in the order in which write_config writes them. */
enum class object_type { limits, admission, routing, retry, service, kind, caller };

/** Names of the sorts, as in headings. */
inline constexpr name_table<7> object_type_names{"limits",  "admission", "routing", "retry",
                                                 "service", "kind",      "caller"};

/** A text of a form that is checked. */
enum class text_form {
    path,     ///< Begins with `/`; visible ASCII.
    host,     ///< A host name without port.
    method,   ///< An HTTP method.
    reference ///< The name of another object.
};

/** Gives the text of @p Object that a key fills. */
template<class Object>
struct text_field {
    std::string& (*m_get)(Object&) = nullptr;      ///< Finds it.
    text_form m_form = text_form::path;            ///< Its form.
    object_type m_target = object_type::admission; ///< Whose name it is, for a reference.
};

/** Gives the names of services that a key fills. */
template<class Object>
struct names_field {
    std::vector<service_name>& (*m_get)(Object&) = nullptr; ///< Finds them.
};

/** Gives the parts of a split that a key fills. */
template<class Object>
struct split_field {
    std::vector<split_part>& (*m_get)(Object&) = nullptr; ///< Finds them.
};

/** Gives the plain value of the type @p Value that a key fills. */
template<class Object, class Value>
struct value_field {
    Value& (*m_get)(Object&) = nullptr; ///< Finds it.
};

/** Where the value of a key goes. */
template<class Object>
using key_field = std::variant<text_field<Object>, names_field<Object>, split_field<Object>,
                               value_field<Object, bool>, value_field<Object, std::uint8_t>,
                               value_field<Object, std::uint16_t>, value_field<Object, std::uint32_t>,
                               value_field<Object, double>, value_field<Object, duration>>;

/** The class and the type of a pointer to a member. */
template<class Member>
struct member_traits;

/** @copydoc member_traits */
template<class Object, class Value>
struct member_traits<Value Object::*> {
    using object = Object; ///< The class.
    using value = Value;   ///< The type of the member.
};

/** Follows the members @p First and @p Rest from @p object on. */
template<auto First, auto... Rest>
auto& follow_members(typename member_traits<decltype(First)>::object& object)
{
    return ((object.*First).*....*Rest);
}

/** Makes the field at the end of the members @p First and @p Rest. */
template<auto First, auto... Rest>
constexpr auto value_at()
{
    using object = typename member_traits<decltype(First)>::object;
    using value = std::remove_reference_t<decltype(follow_members<First, Rest...>(std::declval<object&>()))>;
    return value_field<object, value>{&follow_members<First, Rest...>};
}

/** Makes the field of a text at the end of the members @p First and @p Rest. */
template<auto First, auto... Rest>
constexpr auto text_at(text_form form, object_type target = object_type::admission)
{
    using object = typename member_traits<decltype(First)>::object;
    return text_field<object>{&follow_members<First, Rest...>, form, target};
}

/** Makes the field of the names of services @p Member. */
template<auto Member>
constexpr auto names_at()
{
    return names_field<typename member_traits<decltype(Member)>::object>{&follow_members<Member>};
}

/** Makes the field of the split @p Member. */
template<auto Member>
constexpr auto split_at()
{
    using object = typename member_traits<decltype(Member)>::object;
    return split_field<object>{&follow_members<Member>};
}

/** Whether a key must be there. */
enum class key_need {
    optional, ///< Without it the default holds; write_config leaves out a default.
    required, ///< Always there.
    stated    ///< As optional, but write_config always writes it.
};

/** One key of a sort of object. */
template<class Object>
struct key_info {
    std::string_view m_name;              ///< As in files.
    key_field<Object> m_field;            ///< Where it goes.
    key_need m_need = key_need::optional; ///< Whether it must be there.
    std::string_view m_min;               ///< Least value as in files; empty without order.
    std::string_view m_max;               ///< Greatest value as in files.
    std::string_view m_help;              ///< For docs/CONFIGURATION.md.
};

} // namespace waxwing

#endif
