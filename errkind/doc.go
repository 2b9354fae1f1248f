// Package errkind defines all error kinds and the table that maps each kind to its outcome and
// HTTP answer.
//
// The outcome states whether the work ran. A kind with the outcome NotRun or Overloaded may be
// used only if it is proved that the backend server did not start the work.
package errkind
