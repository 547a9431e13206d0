/** The decisions of the router, without I/O: {@link dillfront.routing.Decide}. */
package dillfront.routing;
