#include "node/Node.h"
#include <fmt/core.h>
using namespace Vanillaridge;
int main(int, char** a) {
    auto r = loadSettings(a[3]);
    if (!r) { for (auto& p : r.problems()) fmt::print(stderr, "{}:{} {} write {}\n", p.line, p.column, p.what, p.writeInstead); return 2; }
    return static_cast<int>(runNode(r.value()));
}
