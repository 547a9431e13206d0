/** One object per transaction, from its last byte until none of its submissions is in flight. */
package dillfront.router.exchange;
