// Standalone driver that runs the fuzz target without libFuzzer:
//   wire_fuzz_driver CORPUS_FOLDER MUTATIONS SEED
// It replays each file of the corpus, then MUTATIONS random mutations of them.

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int
LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size);

namespace {

constexpr std::size_t MAX_INPUT_BYTES = 1400;


void run_target(const std::string& input)
{
    LLVMFuzzerTestOneInput(
        reinterpret_cast<const unsigned char*>(input.data()), input.size());
}


std::vector<std::string> read_corpus(const std::filesystem::path& folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    std::vector<std::string> inputs;
    inputs.reserve(files.size());
    for (const auto& file : files) {
        std::ifstream stream(file, std::ios::binary);
        inputs.emplace_back(
            std::istreambuf_iterator<char>(stream),
            std::istreambuf_iterator<char>());
    }
    return inputs;
}


std::size_t random_below(std::mt19937_64& random, std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}


char random_byte(std::mt19937_64& random)
{
    return static_cast<char>(random_below(random, 256));
}


void apply_mutation(std::string& input, std::mt19937_64& random)
{
    if (input.empty())
        input.push_back(random_byte(random));
    const std::size_t at = random_below(random, input.size());
    switch (random_below(random, 5)) {
    case 0:
        input[at] = static_cast<char>(input[at] ^ 1 << random_below(random, 8));
        break;
    case 1:
        input[at] = random_byte(random);
        break;
    case 2:
        input.resize(at);
        break;
    case 3:
        input.insert(at, 1, random_byte(random));
        break;
    default:
        input += input.substr(at);
        break;
    }
    input.resize(std::min(input.size(), MAX_INPUT_BYTES));
}


std::string mutate(const std::string& from, std::mt19937_64& random)
{
    std::string input = from;
    const std::size_t mutation_count = 1 + random_below(random, 8);
    for (std::size_t i = 0; i < mutation_count; ++i)
        apply_mutation(input, random);
    return input;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: wire_fuzz_driver CORPUS_FOLDER MUTATIONS SEED\n";
        return 2;
    }
    const std::vector<std::string> corpus = read_corpus(argv[1]);
    const unsigned long mutations = std::strtoul(argv[2], nullptr, 10);
    std::mt19937_64 random(std::strtoul(argv[3], nullptr, 10));
    if (corpus.empty()) {
        std::cerr << "wire_fuzz_driver: the corpus folder is empty\n";
        return 2;
    }
    for (const std::string& input : corpus)
        run_target(input);
    for (unsigned long i = 0; i < mutations; ++i)
        run_target(mutate(corpus[random_below(random, corpus.size())], random));
    std::cout << "replayed " << corpus.size() << " files and " << mutations
              << " mutations\n";
    return 0;
}
