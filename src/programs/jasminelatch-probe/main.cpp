#include <jasminelatch/probe/paired_probe.hpp>

#include <CLI/CLI.hpp>

#include <cstddef>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

namespace {

namespace probe = jasminelatch::probe;

auto parseTargets(const std::vector<std::string> &texts) -> std::vector<probe::Target>
{
    std::vector<probe::Target> targets;
    for (const auto &text : texts) {
        const auto equals = text.find('=');
        if (equals == std::string::npos) {
            throw CLI::ValidationError{"--target", "expected NAME=URL, found " + text};
        }
        targets.push_back({text.substr(0, equals), text.substr(equals + 1)});
    }
    return targets;
}

auto milliseconds(const jasminelatch::Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>{duration}.count();
}

auto print(const std::string &name, const double rate, const probe::Summary &summary, const std::size_t failures)
    -> void
{
    std::cout << std::fixed << std::setprecision(3) << name << " rate " << rate << "/s answers " << summary.samples
              << " failures " << failures << " p50 " << milliseconds(summary.median) << " ms p99 "
              << milliseconds(summary.percentile99) << " ms; added within a round p50 "
              << milliseconds(summary.addedMedian) << " ms p99 " << milliseconds(summary.added99) << " ms\n";
}

} // namespace

auto main(int argc, char **argv) -> int
{
    CLI::App app{"Compares the latencies of several URLs, called in turn at a steady rate."};
    std::vector<std::string> texts;
    probe::Load load;
    double seconds{};
    app.add_option("--target", texts, "NAME=URL; the others are compared with the first")->required();
    app.add_option("--rate", load.rate, "rounds begun per second")->required()->check(CLI::PositiveNumber);
    app.add_option("--seconds", seconds, "how long rounds are begun")->required()->check(CLI::PositiveNumber);
    app.add_option("--key", load.key, "key of a client account");
    std::vector<probe::Target> targets;
    try {
        app.parse(argc, argv);
        targets = parseTargets(texts);
    } catch (const CLI::Error &error) {
        return app.exit(error);
    }
    load.length = std::chrono::duration_cast<jasminelatch::Duration>(std::chrono::duration<double>{seconds});
    const auto samples = probe::runPairedProbe(targets, load);
    for (std::size_t target = 0; target < targets.size(); ++target) {
        print(targets[target].name, load.rate, samples.summary(target), samples.failures(target));
    }
    return 0;
}
