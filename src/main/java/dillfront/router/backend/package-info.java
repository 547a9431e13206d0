/** The router's connections to nodes, submissions and health probes. */
package dillfront.router.backend;
