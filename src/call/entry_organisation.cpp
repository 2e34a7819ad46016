/** @file entry_organisation.cpp Organisations at an entry: keys, importance, fair shares and headers. */
#include "call/entry_base.h"
#include "call/organisation_func.h"

#include <algorithm>
#include <map>

namespace waxwing {

namespace {

/** Requests a second, and at once, of an organisation at one entry: its shares have no rate limit, since its
 * quota counts over all nodes. */
constexpr double unlimited_rate = 1.0e9;

/** Returns the callers of @p set with a share of their own: the organisations if there are any. */
std::map<caller_name, share_settings> shares_of(const config_set& set)
{
    std::map<caller_name, share_settings> shares;
    for (const auto& [name, organisation] : set.m_organisations) {
        shares.emplace(caller_name{name.m_value}, share_settings{unlimited_rate, unlimited_rate, 1.0});
    }
    if (shares.empty()) {
        for (const auto& [name, object] : set.m_callers) {
            shares.emplace(name, object.m_share);
        }
    }
    return shares;
}

} // namespace

/** Applies the limits of callers or organisations. What those of @p previous have used is kept, unless the
 * limits of all callers without an object have changed. */
void entry::configure_shares(const config_set* previous)
{
    const std::map<caller_name, share_settings> shares = shares_of(*m_config);
    if (previous == nullptr || previous->m_unknown_callers != m_config->m_unknown_callers) {
        m_shares = caller_shares(m_config->m_unknown_callers, m_random());
    }
    else {
        for (const auto& [name, settings] : shares_of(*previous)) {
            if (!shares.contains(name)) {
                m_shares.remove(name);
            }
        }
    }
    for (const auto& [name, settings] : shares) {
        m_shares.put(name, settings);
    }
}

void entry::confirm(boot_instant confirmed_at)
{
    m_confirmed_at = std::max(m_confirmed_at.value_or(confirmed_at), confirmed_at);
}

bool entry::is_confirmed(boot_instant now) const
{
    return !m_settings.m_fail_closed ||
           (m_confirmed_at.has_value() &&
            now - *m_confirmed_at < m_settings.m_revocation_timeout - revocation_margin);
}

/**
 * Checks the key of @p request and sets the organisation of @p new_call if the request has one. A request
 * with an Authorization field is checked even if its kind is public.
 * @return an answer without a rule, or the refusal.
 * @pre The configuration has organisations, and the kind of @p new_call is set.
 */
answer entry::check_key(const entry_request& request, const request_fields& fields, open_call& new_call)
{
    const bool has_field = find_header(request.m_headers, authorization_header) != nullptr;
    const bool is_sub_call = request.m_local || (request.m_same_machine && fields.m_parent.has_value());
    if (!has_field && new_call.m_kind->m_public) {
        return answer{};
    }
    if (!has_field && is_sub_call) {
        const bool has_parent = fields.m_parent.has_value()
                                    ? parent_call(*fields.m_parent) != nullptr
                                    : parent_of(request, new_call.m_deadline).has_value();
        return has_parent ? answer{} : refusal(rule::unknown_parent);
    }
    if (!is_confirmed(request.m_received_at)) {
        return refusal(rule::keys_unconfirmed);
    }
    const std::optional<std::string_view> key = bearer_key_of(request.m_headers);
    const organisation_object* const holder = key.has_value() ? m_organisations->find(*key) : nullptr;
    if (holder == nullptr) {
        answer response = refusal(rule::unknown_key);
        response.m_headers.push_back({std::string(authenticate_header), std::string(bearer_scheme)});
        return response;
    }
    new_call.m_organisation = holder->m_name;
    new_call.m_has_key = true;
    return answer{};
}

/** Returns whether @p current has to spend a token of a quota: whether it is a root request of an
 * organisation with a limit. @pre It has passed check_request. */
bool entry::needs_quota(const open_call& current) const
{
    if (!current.m_has_key) {
        return false;
    }
    const auto organisation = current.m_config->m_organisations.find(current.m_organisation);
    return organisation != current.m_config->m_organisations.end() && organisation->second.m_rate > 0.0;
}

/** Returns the importance of the root request @p current, whose root id is set. With organisations in force,
 * a request without a key ranks as one of an organisation of the default priority. */
std::uint8_t entry::importance_of(const open_call& current) const
{
    const std::uint8_t kind_importance = current.m_kind->m_importance;
    const auto& organisations = current.m_config->m_organisations;
    if (organisations.empty()) {
        return kind_importance;
    }
    const auto found = organisations.find(current.m_organisation);
    const std::uint8_t priority =
        found == organisations.end() ? organisation_object{}.m_priority : found->second.m_priority;
    const bool promoted = is_promoted(current.m_call.m_context.m_root);
    return organisation_importance(promoted ? m_organisations->highest_priority() : priority,
                                   kind_importance);
}

/** Returns the name of the organisation of @p current that targets get. @pre The call has a key. */
std::string entry::label_of(const open_call& current)
{
    const auto& organisations = current.m_config->m_organisations;
    const auto found = organisations.find(current.m_organisation);
    const bool has_label = found != organisations.end() && !found->second.m_label.empty();
    return has_label ? found->second.m_label : current.m_organisation.m_value;
}

/** Sets the headers that the target of @p new_call gets, from those @p received. The key never leaves the
 * entry, and the name of the organisation always comes from it. */
void entry::set_headers(const header_list& received, open_call& new_call) const
{
    const request_dialect& dialect = m_settings.m_dialect;
    const bool has_organisations = !new_call.m_config->m_organisations.empty();
    header_list& headers = new_call.m_call.m_headers;
    headers = end_to_end_headers(received);
    std::erase_if(headers, [&](const header& field) {
        const auto is_named = [&](std::string_view name) { return equal_ignoring_case(field.m_name, name); };
        return is_named(dialect.m_deadline) || is_named(dialect.m_origin) || is_named(dialect.m_instance) ||
               (has_organisations && (is_named(authorization_header) || is_named(dialect.m_organisation)));
    });
    if (!dialect.m_origin.empty() && !m_settings.m_service.empty()) {
        headers.push_back({std::string(dialect.m_origin), m_settings.m_service.m_value});
    }
    if (!dialect.m_organisation.empty() && new_call.m_has_key) {
        headers.push_back({std::string(dialect.m_organisation), label_of(new_call)});
    }
}

} // namespace waxwing
