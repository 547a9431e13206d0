/** The member list that discovery gives, and what was closed by it. */
package dillfront.router.discovery;
