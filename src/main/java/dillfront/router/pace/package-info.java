/** What a router knows of its own delay. */
package dillfront.router.pace;
