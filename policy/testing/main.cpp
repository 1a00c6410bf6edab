// Main function of the test program; each tst_ file covers one class or concern.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
