#include "tasks/stored_configuration.h"

#include "codec/text_compression.h"

namespace carawayloft {

/** First byte of a compressed document; earlier releases stored JSON, which cannot begin with it. */
static constexpr char compressedMark = '\x78';

result<std::string> storedDocument(const configuration_record &record)
{
    return record.document.starts_with(compressedMark) ? decompressText(record.document) : result<std::string>(record.document);
}

result<service_configuration> readStoredConfiguration(const front_end &frontEnd, const configuration_record &record)
{
    const result<std::string> document = storedDocument(record);
    return failed(document) ? result<service_configuration>(errorOf(document)) : frontEnd.readConfiguration(valueOf(document));
}

} // namespace carawayloft
