#include "bench_score.hpp"

#include <algorithm>

namespace agateledge
{

score_recorder::score_recorder(configuration const &config)
{
    for (auto const &kind : config.classes)
    {
        kinds_[kind.name] = kind;
    }
}

void score_recorder::expect(request_number request,
                            std::string const &class_name, instant now)
{
    open_[request] = {&kinds_.at(class_name), now, {}, 0};
    ++classes_[class_name].requests;
}

void score_recorder::record(caller_reply const &reply, instant now)
{
    auto const found = open_.find(reply.request);
    if (found == open_.end() || reply.kind == caller_reply_kind::accepted)
    {
        return;
    }
    auto &request = found->second;
    if (reply.kind == caller_reply_kind::chunk)
    {
        if (request.tokens == 0)
        {
            request.first_token_at = now;
        }
        request.tokens += reply.tokens;
        return;
    }
    if (reply.kind == caller_reply_kind::finished)
    {
        finish(request, now);
    }
    else
    {
        ++classes_[request.kind->name].refused;
        wasted_tokens_ += request.tokens;
    }
    open_.erase(found);
}

void score_recorder::finish(progress const &request, instant now)
{
    auto const &kind = *request.kind;
    auto &score = classes_[kind.name];
    auto const total_time = now - request.arrived_at;
    bool in_time =
        kind.finish_deadline.count() == 0 || total_time <= kind.finish_deadline;
    score.finish.push_back(to_seconds(total_time));
    if (request.tokens > 0)
    {
        auto const first = request.first_token_at - request.arrived_at;
        auto const interval =
            (now - request.first_token_at) / std::max(1, request.tokens - 1);
        in_time &= kind.first_token_deadline.count() == 0 ||
                   first <= kind.first_token_deadline;
        in_time &= kind.token_interval_deadline.count() == 0 ||
                   interval <= kind.token_interval_deadline;
        score.first_token.push_back(to_seconds(first));
        score.token_interval.push_back(to_seconds(interval));
    }
    ++(in_time ? score.in_time : score.late);
    wasted_tokens_ += in_time ? 0 : request.tokens;
}

bench_score score_recorder::total(double seconds) const
{
    bench_score out;
    out.classes = classes_;
    for (auto const &[number, request] : open_)
    {
        ++out.classes[request.kind->name].unfinished;
    }
    double total_weight = 0;
    double in_time_weight = 0;
    for (auto const &[name, score] : classes_)
    {
        total_weight += kinds_.at(name).weight * score.requests;
        in_time_weight += kinds_.at(name).weight * score.in_time;
    }
    out.goodput = total_weight > 0 ? in_time_weight / total_weight : 0;
    out.goodput_per_second = in_time_weight / seconds;
    out.wasted_tokens = wasted_tokens_;
    return out;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    auto const rank = static_cast<std::ptrdiff_t>(
        share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + rank);
    return values[static_cast<std::size_t>(rank)];
}

} // namespace agateledge
