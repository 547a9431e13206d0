/** The decisions of the router, without I/O: {@link dillfront.routing.RoutingEngine}. */
package dillfront.routing;
