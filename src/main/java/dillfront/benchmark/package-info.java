/**
 * Measurements of what a router costs, and the stand-ins that they need. Begin with {@link
 * dillfront.benchmark.RouterCostBenchmark}.
 */
package dillfront.benchmark;
