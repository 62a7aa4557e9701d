#pragma once

#include <carawayloft/core/result.h>

#include <string>

namespace carawayloft {

/** Compresses a text that is stored and sent more often than it is read. */
std::string compressText(const std::string &text);

/** The text that compressText() was given. Fails with MalformedFrame, also for more than 64 MiB of text. */
result<std::string> decompressText(const std::string &compressed);

} // namespace carawayloft
