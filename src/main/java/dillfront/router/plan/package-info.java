/** Where load goes once sites are lost. Without I/O. */
package dillfront.router.plan;
