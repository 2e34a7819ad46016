/** @file key_type.h Descriptors of configuration keys. */
#ifndef WAXWING_CONFIG_KEY_TYPE_H
#define WAXWING_CONFIG_KEY_TYPE_H

#include "config/config_type.h"

#include <span>
#include <string_view>
#include <variant>

namespace waxwing {

/** Types of objects, in the order in which write_config writes them. */
enum class object_type { limits, admission, routing, retry, service, kind, caller, organisation };

/** Names of the object types, as in headings. */
inline constexpr name_table<8> object_type_names{"limits",  "admission", "routing", "retry",
                                                 "service", "kind",      "caller",  "organisation"};

/** Syntax of a text value. */
enum class text_form {
    path,     ///< Begins with `/`; visible ASCII without `?`, `#` and `;`. May contain escapes.
    host,     ///< A host name in lower case, without port. May contain escapes.
    label,    ///< Visible ASCII without `#` and `;`. May contain escapes.
    method,   ///< An HTTP method in capitals.
    salt,     ///< Visible ASCII without `;` and `#`, which begin comments.
    reference ///< The name of another object.
};

/** A text member of @p Object. */
template<class Object>
struct text_field {
    std::string& (*m_get)(Object&) = nullptr; ///< Accessor.
    text_form m_form = text_form::path;       ///< Its syntax.
    object_type m_target =
        object_type::admission; ///< Type of the object that it names, if it is a reference.
};

/** A member of @p Object that lists service names. */
template<class Object>
struct names_field {
    std::vector<service_name>& (*m_get)(Object&) = nullptr; ///< Accessor.
};

/** A member of @p Object that holds a traffic split. */
template<class Object>
struct split_field {
    std::vector<split_part>& (*m_get)(Object&) = nullptr; ///< Accessor.
};

/** A member of @p Object of the scalar type @p Value. */
template<class Object, class Value>
struct value_field {
    Value& (*m_get)(Object&) = nullptr; ///< Accessor.
};

/** The member that a key sets. */
template<class Object>
using key_field =
    std::variant<text_field<Object>, names_field<Object>, split_field<Object>, value_field<Object, bool>,
                 value_field<Object, std::uint8_t>, value_field<Object, std::uint16_t>,
                 value_field<Object, std::uint32_t>, value_field<Object, double>,
                 value_field<Object, duration>, value_field<Object, std::vector<std::string>>>;

/** Class and value type of a pointer to member. */
template<class Member>
struct member_traits;

/** @copydoc member_traits */
template<class Object, class Value>
struct member_traits<Value Object::*> {
    using object = Object; ///< The class.
    using value = Value;   ///< The type of the member.
};

/** Returns the member of @p object that the path @p First, @p Rest leads to. */
template<auto First, auto... Rest>
auto& follow_members(typename member_traits<decltype(First)>::object& object)
{
    return ((object.*First).*....*Rest);
}

/** Returns the field for the scalar member at the path @p First, @p Rest. */
template<auto First, auto... Rest>
constexpr auto value_at()
{
    using object = typename member_traits<decltype(First)>::object;
    using value = std::remove_reference_t<decltype(follow_members<First, Rest...>(std::declval<object&>()))>;
    return value_field<object, value>{&follow_members<First, Rest...>};
}

/** Returns the field for the text member at the path @p First, @p Rest. */
template<auto First, auto... Rest>
constexpr auto text_at(text_form form, object_type target = object_type::admission)
{
    using object = typename member_traits<decltype(First)>::object;
    return text_field<object>{&follow_members<First, Rest...>, form, target};
}

/** Returns the field for the list of service names @p Member. */
template<auto Member>
constexpr auto names_at()
{
    return names_field<typename member_traits<decltype(Member)>::object>{&follow_members<Member>};
}

/** Returns the field for the traffic split @p Member. */
template<auto Member>
constexpr auto split_at()
{
    using object = typename member_traits<decltype(Member)>::object;
    return split_field<object>{&follow_members<Member>};
}

/** Whether a key has to be present. */
enum class key_presence {
    optional,      ///< May be absent; write_config leaves it out if it has its default value.
    required,      ///< Must be present.
    always_written ///< May be absent, but write_config always writes it.
};

/** One key of an object type. */
template<class Object>
struct key_info {
    std::string_view m_name;                          ///< Name, as in files.
    key_field<Object> m_field;                        ///< The member that it sets.
    key_presence m_presence = key_presence::optional; ///< Whether it has to be present.
    std::string_view m_min;  ///< Minimum, as in files; empty if the value has no range.
    std::string_view m_max;  ///< Maximum, as in files.
    std::string_view m_help; ///< Description for docs/CONFIGURATION.md.
};

} // namespace waxwing

#endif
