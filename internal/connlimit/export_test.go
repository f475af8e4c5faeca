package connlimit

// MaxAcceptWait is how long a connection waits for one of those in use to end.
const MaxAcceptWait = maxAcceptWait
