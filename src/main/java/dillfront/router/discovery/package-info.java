/** Member lists from discovery, and the closures they contain. */
package dillfront.router.discovery;
