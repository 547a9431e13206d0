/** Which sites are lost, by a router's own evidence. Without I/O. */
package dillfront.router.site;
