// The one translation unit that compiles Catch2's main. A QCoreApplication is
// there for tests that need Qt's event loop.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <QCoreApplication>

int main(int argc, char* argv[]) {
    const QCoreApplication application(argc, argv);
    return Catch::Session().run(argc, argv);
}
