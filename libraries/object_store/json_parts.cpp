#include "libraries/object_store/json_parts.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace pistachiohub::object_store
{

namespace
{

/// Reads JSON text from the start to the end.
class part_reader
{
public:
    explicit part_reader(std::string_view text)
        : m_text(text)
    {
    }

    /// Skips blanks. @returns the next character, or 0 at the end.
    char peek()
    {
        constexpr std::string_view blanks = " \t\r\n";
        m_position = std::min(m_text.find_first_not_of(blanks, m_position), m_text.size());
        return m_position < m_text.size() ? m_text[m_position] : '\0';
    }

    void expect(char wanted)
    {
        if (peek() != wanted)
            throw std::invalid_argument("JSON text is torn");
        ++m_position;
    }

    /// @returns the text between the quotes of a string.
    std::string_view read_name()
    {
        expect('"');
        auto const begin = m_position;
        skip_string();
        return m_text.substr(begin, m_position - begin - 1);
    }

    /// @returns the text of the next value.
    std::string_view read_value()
    {
        peek();
        auto const begin = m_position;
        std::size_t depth = 0;
        for (; m_position < m_text.size(); ++m_position)
        {
            auto const next = m_text[m_position];
            bool const is_end = next == ',' || next == ']' || next == '}';
            if (depth == 0 && is_end)
                break;
            if (next == '{' || next == '[')
                ++depth;
            else if (next == '}' || next == ']')
                --depth;
            else if (next == '"')
            {
                ++m_position;
                skip_string();
                --m_position;
            }
        }
        if (m_position == begin)
            throw std::invalid_argument("JSON text lacks a value");
        return m_text.substr(begin, m_position - begin);
    }

    /// Reads what stands after a part: a comma, or the bracket at the end.
    /// @returns whether another part follows.
    bool has_next(char end)
    {
        bool const is_last = peek() == end;
        expect(is_last ? end : ',');
        return !is_last;
    }

    void expect_end()
    {
        if (peek() != '\0' || m_position != m_text.size())
            throw std::invalid_argument("JSON text has extra bytes");
    }

private:
    // Moves from the first character of a string behind its closing quote.
    void skip_string()
    {
        for (; m_position < m_text.size() && m_text[m_position] != '"'; ++m_position)
            m_position += m_text[m_position] == '\\' ? 1 : 0;
        if (m_position >= m_text.size())
            throw std::invalid_argument("JSON text ends in a string");
        ++m_position;
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

// Calls `read_part` for each part between the brackets.
template<class ReadPart>
void read_parts(std::string_view text, char begin, char end, ReadPart&& read_part)
{
    part_reader reader(text);
    reader.expect(begin);
    bool has_part = reader.peek() != end;
    if (!has_part)
        reader.expect(end);
    while (has_part)
    {
        read_part(reader);
        has_part = reader.has_next(end);
    }
    reader.expect_end();
}

} // namespace

std::vector<json_member> split_json_object(std::string_view text)
{
    std::vector<json_member> members;
    read_parts(text,
               '{',
               '}',
               [&members](part_reader& reader)
               {
                   auto const name = reader.read_name();
                   reader.expect(':');
                   members.emplace_back(name, reader.read_value());
               });
    return members;
}

std::vector<std::string_view> split_json_array(std::string_view text)
{
    std::vector<std::string_view> elements;
    read_parts(text,
               '[',
               ']',
               [&elements](part_reader& reader)
               {
                   elements.push_back(reader.read_value());
               });
    return elements;
}

std::string_view find_json_member(std::vector<json_member> const& members, std::string_view name)
{
    auto const found = std::find_if(members.begin(),
                                    members.end(),
                                    [name](json_member const& member)
                                    {
                                        return member.first == name;
                                    });
    return found == members.end() ? std::string_view() : found->second;
}

std::string readable_json(std::string_view text)
{
    boost::system::error_code failure;
    auto const value = boost::json::parse(text, failure);
    return failure || value.is_null() ? std::string() : boost::json::serialize(value);
}

} // namespace pistachiohub::object_store
