/**
 * Routing decisions of the database router, without I/O: {@link dillfront.routing.RoutingEngine}.
 */
package dillfront.routing;
