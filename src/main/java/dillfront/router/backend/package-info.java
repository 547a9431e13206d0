/** The router's connections to nodes, submissions and probes. */
package dillfront.router.backend;
