// Package errkind defines the closed list of error kinds and the table that maps each kind to
// its outcome and HTTP answer.
//
// The outcome states whether the work ran. A kind whose outcome is NotRun or Overloaded may
// be used only if it is proved that the backend server did not start the work.
package errkind
