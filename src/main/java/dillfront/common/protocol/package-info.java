/** What control plane and data plane say to each other: typed messages, each with one codec. */
package dillfront.common.protocol;
