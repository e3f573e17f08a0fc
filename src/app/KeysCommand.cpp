#include "app/Commands.h"

#include <CLI/CLI.hpp>
#include <fmt/core.h>
#include <openssl/rand.h>

namespace Vanillaridge {

namespace {

    constexpr size_t keyBytes = 32;

    // Makes a key, or digests one that is read from standard input.
    class KeysCommand final : public Command {
    public:
        void declare(CLI::App& app) override
        {
            app.add_flag("--digest-only", m_digestOnly, "read a key from standard input and print its digest only");
        }

        ExitCode run() override
        {
            if (m_digestOnly)
                return digestInput();
            std::array<uint8_t, keyBytes> bytes;
            if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
                fmt::print(stderr, "no random numbers are to be had\n");
                return ExitCode::Failed;
            }
            const auto key = toHex(bytes);
            fmt::print("key:    {}\ndigest: \"sha256:{}\"\n", key, toHex(digestOfKey(key)));
            return ExitCode::Done;
        }

    private:
        static ExitCode digestInput()
        {
            std::string key;
            if (!std::getline(std::cin, key) || key.empty()) {
                fmt::print(stderr, "no key on standard input\n");
                return ExitCode::Failed;
            }
            fmt::print("\"sha256:{}\"\n", toHex(digestOfKey(key)));
            return ExitCode::Done;
        }

        bool m_digestOnly { false };
    };

} // namespace

std::unique_ptr<Command> makeKeysCommand() { return std::make_unique<KeysCommand>(); }

} // namespace Vanillaridge
