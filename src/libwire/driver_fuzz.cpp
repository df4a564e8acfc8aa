// Runs the fuzz target without libFuzzer:
//   wire_fuzz_driver CORPUS_FOLDER MUTATIONS SEED
// replays every file of the folder and then MUTATIONS inputs made from them.

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


void run(const std::string& input)
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


std::size_t below(std::mt19937_64& random, std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}


char any_byte(std::mt19937_64& random)
{
    return static_cast<char>(below(random, 256));
}


void change_once(std::string& input, std::mt19937_64& random)
{
    if (input.empty())
        input.push_back(any_byte(random));
    const std::size_t at = below(random, input.size());
    switch (below(random, 5)) {
    case 0:
        input[at] = static_cast<char>(input[at] ^ 1 << below(random, 8));
        break;
    case 1:
        input[at] = any_byte(random);
        break;
    case 2:
        input.resize(at);
        break;
    case 3:
        input.insert(at, 1, any_byte(random));
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
    const std::size_t changes = 1 + below(random, 8);
    for (std::size_t i = 0; i < changes; ++i)
        change_once(input, random);
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
        run(input);
    for (unsigned long i = 0; i < mutations; ++i)
        run(mutate(corpus[below(random, corpus.size())], random));
    std::cout << "replayed " << corpus.size() << " files and " << mutations
              << " mutations\n";
    return 0;
}
