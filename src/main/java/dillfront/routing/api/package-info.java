/**
 * Interface of the routing engine: settings, node records, results, and the port to its adapter.
 */
package dillfront.routing.api;
