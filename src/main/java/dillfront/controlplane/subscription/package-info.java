/** Subscriptions of the data planes that poll a control process. */
package dillfront.controlplane.subscription;
