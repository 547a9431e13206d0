/** The command line. Begin with {@link dillfront.cli.Main}. */
package dillfront.cli;
