#include "standins/answer.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace pistachiohub::standins
{

namespace
{

constexpr std::size_t digest_size = 16;

std::string make_head(std::string_view id, std::string_view body)
{
    return "id=" + std::string(id) + " body=" + digest(body) + ' ';
}

} // namespace

std::string digest(std::string_view text)
{
    std::array<char, digest_size + 1> hexadecimal{};
    static_cast<void>(
        std::snprintf(hexadecimal.data(),
                      hexadecimal.size(),
                      "%016llx",
                      static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0))));
    return {hexadecimal.data(), digest_size};
}

std::string make_answer(std::string_view id, std::string_view body, std::size_t padding)
{
    auto answer = make_head(id, body) + std::string(padding, '.');
    return answer + digest(answer);
}

answer_check check_answer(std::string_view answer, std::string_view id, std::string_view body)
{
    answer_check result;
    result.is_own = answer.starts_with(make_head(id, body));
    result.is_whole =
        answer.size() > digest_size && answer.substr(answer.size() - digest_size) ==
                                           digest(answer.substr(0, answer.size() - digest_size));
    return result;
}

} // namespace pistachiohub::standins
