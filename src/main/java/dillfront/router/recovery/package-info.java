/** The return of a fleet that was lost as a whole. Without I/O. */
package dillfront.router.recovery;
