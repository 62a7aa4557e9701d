#pragma once

// RapidCheck's header for GoogleTest relies on these two.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <rapidcheck/gtest.h>
