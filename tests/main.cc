#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdlib>

int main(int argc, char** argv) {
  // The address sanitizer finds leaks; the detector of CppUTest would also
  // report memory that libraries hold until exit.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // Fixed seed, so that RapidCheck generates the same inputs on every run.
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
