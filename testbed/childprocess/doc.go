// Package childprocess starts child processes that the kernel kills when their parent
// ends, also after a crash or SIGKILL of the parent. The caller waits for its children.
package childprocess
