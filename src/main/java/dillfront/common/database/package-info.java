/** The protocol of the database servers, and positions in their logs. */
package dillfront.common.database;
