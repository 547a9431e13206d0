/** The protocol between control plane and data planes: typed messages with one codec each. */
package dillfront.common.protocol;
