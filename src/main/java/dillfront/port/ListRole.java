package dillfront.port;

/** How the member list's word on the primary follows the role. */
public enum ListRole { TRAILING, AS_AT_START, ABSENT }
