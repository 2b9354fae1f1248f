// Package guard bounds what clients can make a process hold: memory, connections and
// descriptors.
//
// Budget, HeadReader, the growth of buffers and the choice of the connection to close are
// decisions without input and output. Guard, Door and Conn apply them to the listeners of a
// process. A Door is one listener; all doors of a process share the memory budget of its Guard.
// Sockets bounds what the kernel holds for the connections of the process, also for those that it
// opens itself.
package guard
