/** The settings of a process and the operator's configuration, read and checked. */
package dillfront.common.config;
