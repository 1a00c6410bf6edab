// Rotation without restart, and a bad file that changes nothing.

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

#include "core/crypto.h"
#include "core/error.h"
#include "core/secretfile.h"

using namespace figrack;

namespace {

const auto first = std::string(20, 'a');
const auto second = std::string(20, 'b');

/// A file that is gone at the end of the test.
class TemporaryFile
{
public:
    TemporaryFile() { close(mkstemp(path.data())); }
    ~TemporaryFile() { std::remove(path.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    auto operator=(const TemporaryFile &) -> TemporaryFile & = delete;
    auto write(const std::string &text) const -> void { std::ofstream { path } << text; }

    std::string path = "/tmp/tst_secretfile.XXXXXX";
};

auto hex(std::string_view bytes) -> std::string
{
    auto text = std::string {};
    for (const auto c : bytes) {
        text += "0123456789abcdef"[static_cast<unsigned char>(c) >> 4];
        text += "0123456789abcdef"[static_cast<unsigned char>(c) & 15];
    }
    return text;
}

} // namespace

TEST_CASE("a secret is rotated without a restart")
{
    const auto file = TemporaryFile {};
    file.write("# tokens\n\n  " + first + "  \r\n");
    auto opened = SecretFile::open(file.path, checkToken);
    REQUIRE(opened.ok());
    auto &tokens = **opened;
    CHECK(tokens.matches(first));
    CHECK_FALSE(tokens.matches(second));
    // The same size and, on a coarse clock, the same time as before.
    file.write(first + "\n" + second + "\n");
    CHECK(tokens.secrets() == std::vector { first, second });
    file.write(second);
    CHECK_FALSE(tokens.matches(first));
    CHECK(tokens.matches(second));
}

TEST_CASE("a file that has gone bad leaves the secrets before it in force")
{
    const auto file = TemporaryFile {};
    file.write(first);
    auto tokens = *SecretFile::open(file.path, checkToken);
    for (const auto *text : { "", "short", "# nothing\n" }) {
        file.write(text);
        CHECK(tokens->matches(first));
        CHECK_FALSE(tokens->matches(""));
    }
    std::remove(file.path.c_str());
    CHECK(tokens->matches(first));
    file.write(second);
    CHECK(tokens->matches(second));
}

TEST_CASE("a bad file is refused with its line and without the secret")
{
    const auto status
            = SecretFile::fromText(first + "\nwith a blank in the middle", checkToken).status();
    CHECK(errorKind(status) == ErrorKind::BadSettings);
    CHECK(errorArgument(status) == "file=(text) line=2 a token has printable characters only");
    CHECK_FALSE(SecretFile::open("/nonexistent/tokens", checkToken).ok());
    CHECK_FALSE(SecretFile::open("/", checkToken).ok());
}

TEST_CASE("only the whole secret matches")
{
    auto tokens = *SecretFile::fromText(first, checkToken);
    for (const auto &wrong :
         { std::string {}, first.substr(1), first + "a", first.substr(1) + "b" })
        CHECK_FALSE(tokens->matches(wrong));
}

TEST_CASE("digests are the published ones")
{
    CHECK(hex(sha256("abc")) == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(hex(hmacSha256("Jefe", "what do ya want for nothing?"))
          == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    CHECK(secureRandom(32) != secureRandom(32));
}
