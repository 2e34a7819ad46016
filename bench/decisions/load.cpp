/** @file load.cpp Simulation of a target and its load. */
#include "bench/decisions/load_base.h"

#include <cmath>
#include <cstdio>

namespace waxwing::bench {

namespace {

constexpr double bin_seconds = 0.2;      ///< Length of one interval of the goodput curve, in seconds.
constexpr double settling_seconds = 3.0; ///< Seconds of overload before goodput is measured.
constexpr double degradation = 0.5; ///< Additional run time factor per multiple of the cores in progress.
constexpr std::uint8_t order_importance = 200;
constexpr std::uint8_t lookup_importance = 100;
constexpr std::uint8_t fetch_importance = 50;
constexpr double lookup_ratio = 0.6; ///< Ratio of lookups among the calls that are not orders.

/** One call. */
struct load_call {
    admission_request m_request;  ///< The request as offered to admission control.
    double m_work = 0.0;          ///< Run time without contention, in seconds.
    double m_sub_call_time = 0.0; ///< Time in sub-calls, in seconds.
    double m_arrived_at = 0.0;    ///< Time of arrival at the target, in seconds.
    bool m_is_order = false;      ///< Whether it is an order.
};

/** Counts for one interval of the goodput curve. */
struct bin {
    double m_offered = 0.0; ///< Calls offered.
    double m_good = 0.0;    ///< Calls completed before their deadline.
};

/** One simulation run. */
class load_run {
public:
    explicit load_run(const load_plan& plan)
        : m_plan(plan), m_random(plan.m_seed), m_admission(make_settings(plan)),
          m_bins(static_cast<std::size_t>(plan.m_length / bin_seconds) + 2)
    {
    }

    /** Runs the simulation. */
    load_figures run();

private:
    static admission_settings make_settings(const load_plan& plan);

    /** Converts seconds since the start of the run to an instant. */
    static instant at(double seconds)
    {
        return instant(std::chrono::seconds(1000)) +
               std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

    /** Returns a random number: 30 % of @p mean constant, 70 % exponentially distributed. */
    double draw(double mean) { return mean * (0.3 + 0.7 * m_exponential(m_random)); }

    bool is_overloaded(double time) const { return time >= m_plan.m_begin && time < m_plan.m_end; }

    /** Returns the speed at which each call in progress runs, relative to an idle target. */
    double speed() const;

    /** Advances the simulation to @p time, and the virtual time of the target by the work done. */
    void advance(double time)
    {
        m_virtual += (time - m_time) * speed();
        m_time = time;
    }

    /** Returns the time at which the next run at the target ends. */
    double next_end() const
    {
        return m_running.empty() ? 1e18 : m_time + (m_running.begin()->first - m_virtual) / speed();
    }

    void arrive();
    void send_to_target(std::uint64_t number);
    void begin(std::uint64_t number);
    void finish_work();
    void finish_call(std::uint64_t number);
    void process_actions();
    void trace(double time);
    load_figures figures() const;

    load_plan m_plan;
    random_source m_random;
    std::exponential_distribution<double> m_exponential{1.0};
    admission m_admission;
    std::vector<admission_action> m_actions;
    std::unordered_map<std::uint64_t, load_call> m_calls;
    std::multimap<double, std::uint64_t> m_running; ///< Runs, by the virtual time of their end.
    std::multimap<double, std::uint64_t>
        m_in_sub_calls;                       ///< Calls waiting for sub-calls, by the time of their end.
    std::deque<std::uint64_t> m_target_queue; ///< Queue at the target.
    std::deque<std::uint64_t> m_limit_queue;  ///< Queue at the fixed limit.
    std::uint64_t m_last_attempt = 0;
    double m_time = 0.0;
    double m_virtual = 0.0;
    std::size_t m_held = 0; ///< Occupied slots of the target.
    std::vector<bin> m_bins;
    double m_orders = 0.0;
    double m_orders_good = 0.0;
    double m_runs = 0.0;
    double m_late_runs = 0.0;
};

admission_settings load_run::make_settings(const load_plan& plan)
{
    admission_settings settings;
    settings.m_limit.m_slots = plan.m_slots;
    return settings;
}

double load_run::speed() const
{
    const double slow_down = is_overloaded(m_time) ? m_plan.m_slow : 1.0;
    const auto busy = static_cast<double>(m_running.size());
    if (m_plan.m_target == target_kind::parallel || busy <= m_plan.m_cores) {
        return 1.0 / slow_down;
    }
    const double over = busy / m_plan.m_cores - 1.0;
    const double overhead = m_plan.m_target == target_kind::degrading ? 1.0 + degradation * over : 1.0;
    return m_plan.m_cores / busy / overhead / slow_down;
}

void load_run::arrive()
{
    const std::uint64_t number = ++m_last_attempt;
    const double kind = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    load_call call;
    call.m_is_order = kind < m_plan.m_orders;
    const bool lookup = kind < m_plan.m_orders + (1.0 - m_plan.m_orders) * lookup_ratio;
    const std::uint8_t importance = call.m_is_order ? order_importance
                                    : lookup        ? lookup_importance
                                                    : fetch_importance;
    call.m_request = {
        {number}, make_priority(importance, {m_random()}), 0, at(m_time + m_plan.m_deadline), false};
    call.m_work = draw(m_plan.m_work);
    call.m_sub_call_time = m_plan.m_sub_calls > 0.0 ? draw(m_plan.m_sub_calls) : 0.0;
    m_calls[number] = call;
    m_bins[static_cast<std::size_t>(m_time / bin_seconds)].m_offered += 1.0;
    m_orders += call.m_is_order && is_overloaded(m_time) ? 1.0 : 0.0;
    if (m_plan.m_control == control_kind::admission) {
        m_admission.offer(at(m_time), call.m_request, m_actions);
        process_actions();
    }
    else if (m_plan.m_control == control_kind::fixed && m_held >= m_plan.m_slots) {
        m_limit_queue.push_back(number);
    }
    else {
        send_to_target(number);
    }
}

void load_run::send_to_target(std::uint64_t number)
{
    m_calls[number].m_arrived_at = m_time;
    if (m_plan.m_target == target_kind::parallel && m_held >= m_plan.m_slots) {
        m_target_queue.push_back(number);
        return;
    }
    begin(number);
}

void load_run::begin(std::uint64_t number)
{
    ++m_held;
    m_running.emplace(m_virtual + m_calls[number].m_work, number);
}

void load_run::finish_work()
{
    const std::uint64_t number = m_running.begin()->second;
    m_running.erase(m_running.begin());
    const double sub_call_time = m_calls[number].m_sub_call_time;
    if (sub_call_time > 0.0) {
        m_in_sub_calls.emplace(m_time + sub_call_time, number);
        return;
    }
    finish_call(number);
}

void load_run::finish_call(std::uint64_t number)
{
    const load_call call = m_calls[number];
    m_calls.erase(number);
    --m_held;
    const bool good = at(m_time) <= call.m_request.m_deadline;
    m_runs += 1.0;
    m_late_runs += good ? 0.0 : 1.0;
    m_bins[static_cast<std::size_t>(m_time / bin_seconds)].m_good += good ? 1.0 : 0.0;
    const double offered = to_seconds(call.m_request.m_deadline - at(0.0)) - m_plan.m_deadline;
    m_orders_good += good && call.m_is_order && is_overloaded(offered) ? 1.0 : 0.0;
    if (!m_target_queue.empty()) {
        begin(m_target_queue.front());
        m_target_queue.pop_front();
    }
    if (m_plan.m_control == control_kind::admission) {
        const duration run = at(m_time) - at(call.m_arrived_at) - (at(call.m_sub_call_time) - at(0.0));
        m_admission.finish(at(m_time), call.m_request.m_attempt, run, run_end::succeeded, m_actions);
        process_actions();
    }
    else if (!m_limit_queue.empty()) {
        send_to_target(m_limit_queue.front());
        m_limit_queue.pop_front();
    }
}

void load_run::process_actions()
{
    std::vector<admission_action> actions;
    actions.swap(m_actions);
    for (const admission_action& action : actions) {
        if (const auto* started = std::get_if<admission_start>(&action)) {
            send_to_target(started->m_attempt.m_value);
        }
        else {
            m_calls.erase(std::get<admission_refuse>(action).m_attempt.m_value);
        }
    }
}

void load_run::trace(double time)
{
    if (!m_plan.m_trace) {
        return;
    }
    const load_report report = m_admission.report(at(time));
    const bin& last = m_bins[static_cast<std::size_t>(time / bin_seconds) - 1];
    std::printf("%6.1f offered %6.0f good %6.0f running %4u queued %4u limit %4u threshold %3u.%03u\n", time,
                last.m_offered / bin_seconds, last.m_good / bin_seconds, report.m_in_progress,
                report.m_queued, report.m_limit, report.m_threshold.importance(),
                report.m_threshold.m_value & 255U);
}

load_figures load_run::run()
{
    const double capacity = m_plan.capacity();
    double next_arrival = 0.0;
    double next_bin = bin_seconds;
    while (m_time < m_plan.m_length) {
        const double tick =
            m_plan.m_control == control_kind::admission && m_admission.next_tick() != instant::max()
                ? std::max(to_seconds(m_admission.next_tick() - at(0.0)), m_time)
                : 1e18;
        const double end = next_end();
        const double sub_call_end = m_in_sub_calls.empty() ? 1e18 : m_in_sub_calls.begin()->first;
        const double next = std::min({next_arrival, end, sub_call_end, tick, next_bin});
        advance(std::max(next, m_time));
        if (next == next_bin) {
            trace(next_bin + 1e-9);
            next_bin += bin_seconds;
        }
        else if (next == next_arrival) {
            arrive();
            const double load = is_overloaded(m_time) ? m_plan.m_load : m_plan.m_base_load;
            next_arrival = m_time + m_exponential(m_random) / (load * capacity);
        }
        else if (next == end) {
            finish_work();
        }
        else if (next == sub_call_end) {
            const std::uint64_t number = m_in_sub_calls.begin()->second;
            m_in_sub_calls.erase(m_in_sub_calls.begin());
            finish_call(number);
        }
        else {
            m_admission.tick(at(m_time + 1e-9), m_actions);
            process_actions();
        }
    }
    return figures();
}

load_figures load_run::figures() const
{
    load_figures found;
    const double capacity = m_plan.capacity() / m_plan.m_slow * bin_seconds;
    const double reachable = std::min(capacity, m_plan.m_load * m_plan.capacity() * bin_seconds);
    const auto index = [](double time) { return static_cast<std::size_t>(std::lround(time / bin_seconds)); };
    double good = 0.0;
    for (std::size_t bin = index(m_plan.m_begin + settling_seconds); bin < index(m_plan.m_end); ++bin) {
        good += m_bins[bin].m_good;
    }
    found.m_goodput =
        good /
        (reachable * static_cast<double>(index(m_plan.m_end) - index(m_plan.m_begin + settling_seconds)));
    found.m_orders = m_orders_good / std::max(m_orders, 1.0);
    found.m_wasted = m_late_runs / std::max(m_runs, 1.0);
    const auto time_to_reach = [this, index](double from, double until, double required) {
        constexpr std::size_t span = 5;
        for (std::size_t bin = index(from); bin + span <= index(until); ++bin) {
            double sum = 0.0;
            for (std::size_t step = 0; step < span; ++step) {
                sum += m_bins[bin + step].m_good;
            }
            if (sum >= required * span) {
                return static_cast<double>(bin) * bin_seconds - from;
            }
        }
        return 99.0;
    };
    found.m_ramp_up = time_to_reach(m_plan.m_begin, m_plan.m_end, 0.9 * reachable);
    found.m_recovery = time_to_reach(m_plan.m_end, m_plan.m_length,
                                     0.95 * m_plan.m_base_load * m_plan.capacity() * bin_seconds);
    return found;
}

} // namespace

double load_plan::capacity() const
{
    return m_target == target_kind::parallel ? m_slots / (m_work + m_sub_calls)
                                             : std::min(m_cores / m_work, m_slots / (m_work + m_sub_calls));
}

load_figures run_load(const load_plan& plan)
{
    return load_run(plan).run();
}

} // namespace waxwing::bench
