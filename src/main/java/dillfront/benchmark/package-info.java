/**
 * Benchmarks of the router and the stub backends that they need. Start with {@link
 * dillfront.benchmark.RouterCostBenchmark}.
 */
package dillfront.benchmark;
