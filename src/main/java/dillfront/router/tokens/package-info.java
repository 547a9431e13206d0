/** Verification of the signed tokens that clients present. */
package dillfront.router.tokens;
