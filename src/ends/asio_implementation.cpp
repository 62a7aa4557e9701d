// The one place where the sources of Asio are compiled.
#include <asio/impl/src.hpp>
