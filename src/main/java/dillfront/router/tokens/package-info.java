/** Signed tokens of callers. */
package dillfront.router.tokens;
