/** The router's listener and the clients that are connected. */
package dillfront.router.frontend;
