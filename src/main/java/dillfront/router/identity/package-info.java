/** Who is calling, and what the caller may do. Without I/O. */
package dillfront.router.identity;
