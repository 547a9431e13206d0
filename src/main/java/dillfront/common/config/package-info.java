/** Reads and validates the settings of a process and the operator's configuration. */
package dillfront.common.config;
