#include "ends/http_field.h"

#include <algorithm>

namespace carawayloft {

static constexpr unsigned char deleteByte = 0x7f;

static bool isValueByte(unsigned char byte)
{
    return byte == '\t' || (byte >= ' ' && byte != deleteByte);
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isValueByte);
}

std::string_view withoutLineEnd(std::string_view line)
{
    if (line.ends_with('\n')) {
        line.remove_suffix(1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
    }
    return line;
}

} // namespace carawayloft
