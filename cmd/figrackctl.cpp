// The main program of figrackctl; cmd/ctl.h declares its implementation.

#include "cmd/commandline.h"
#include "cmd/ctl.h"

auto main(int argc, char **argv) -> int
{
    const auto clock = figrack::SystemClock {};
    return figrack::cmd::runCtl(figrack::cmd::argumentsOf(argc, argv), clock);
}
