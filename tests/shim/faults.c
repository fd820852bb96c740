/*
 * Injects faults into the system calls of one process, for the tests. The library is loaded with LD_PRELOAD
 * and reads the faults to inject from a control file, whose path is in the environment variable FAULTS_FILE.
 * A test may replace that file while the process runs; a change takes effect within REREAD_INTERVAL_NS. Each
 * line names one fault:
 *
 *   CALL ERRNO PERCENT   this percentage of the calls fails with this error number
 *   short 0 PERCENT      this percentage of the reads and writes on sockets transfers only part of the bytes
 *   clock 0 SECONDS      the wall clock is shifted by this many seconds; the monotonic clock is not
 *
 * CALL is one of accept, bind, connect, epoll, open, socket. An open fails only if the path contains
 * config.json, and the creation of a socket only if it is for IPv4.
 *
 * The state below is not synchronized between threads.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum fault { ACCEPT, BIND, CONNECT, EPOLL, OPEN, SOCKET, SHORT, CLOCK, FAULT_COUNT };

/* Names of the faults in the control file, in the order of enum fault. */
static const char *const FAULT_NAMES[FAULT_COUNT] = {"accept", "bind",   "connect", "epoll",
                                                     "open",   "socket", "short",   "clock"};
/* How long the contents of the control file are used before it is read again, in nanoseconds. */
static const long REREAD_INTERVAL_NS = 5000000;
/* Size of the buffer for the control file, in bytes; the rest of a longer file is ignored. */
enum { MAX_CONTROL_FILE_BYTES = 1024 };

/* The error number that each fault makes a call fail with. */
static int error_numbers[FAULT_COUNT];
/* The third column of the control file: a percentage of calls, or a number of seconds for CLOCK. Zero
 * disables the fault. */
static long amounts[FAULT_COUNT];
/* When the control file was last read, on the monotonic clock; zero before the first time. */
static long long last_read_ns;
/* State of the pseudo-random generator; zero until it is seeded. */
static uint64_t random_state;

/* The function of the C library that the function of the same name in this file replaces. */
#define REAL(type, name) ((type)dlsym(RTLD_NEXT, name))

/* Reads the clock by a direct system call, as clock_gettime is replaced below. */
static long long monotonic_ns(void) {
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

/* Replaces all faults by those in the text of a control file. */
static void parse_faults(char *text) {
    memset(error_numbers, 0, sizeof error_numbers);
    memset(amounts, 0, sizeof amounts);
    for (char *line = strtok(text, "\n"); line != NULL; line = strtok(NULL, "\n")) {
        char name[16];
        int error_number;
        long amount;
        if (sscanf(line, "%15s %d %ld", name, &error_number, &amount) != 3)
            continue;
        for (int fault = 0; fault < FAULT_COUNT; fault++) {
            if (strcmp(name, FAULT_NAMES[fault]) == 0) {
                error_numbers[fault] = error_number;
                amounts[fault] = amount;
            }
        }
    }
}

/* Reads the control file again once the interval is over. System calls are made directly, as open is replaced
 * below. */
static void refresh_faults(void) {
    long long now = monotonic_ns();
    if (last_read_ns != 0 && now - last_read_ns < REREAD_INTERVAL_NS)
        return;
    last_read_ns = now;
    const char *path = getenv("FAULTS_FILE");
    if (path == NULL)
        return;
    int file = (int)syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return;
    char text[MAX_CONTROL_FILE_BYTES];
    long length = syscall(SYS_read, file, text, sizeof text - 1);
    syscall(SYS_close, file);
    if (length < 0)
        return;
    text[length] = 0;
    parse_faults(text);
}

/* Returns whether the fault applies to this call, at random with the probability given by its percentage. */
static int is_injected(enum fault fault) {
    refresh_faults();
    if (amounts[fault] <= 0)
        return 0;
    if (random_state == 0)
        random_state = (uint64_t)monotonic_ns() | 1;
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (long)((random_state >> 33) % 100) < amounts[fault];
}

/* Returns whether this call fails, and sets errno if it does. */
static int fails(enum fault fault) {
    if (!is_injected(fault))
        return 0;
    errno = error_numbers[fault];
    return 1;
}

/* Returns the number of bytes to transfer of the requested length: fewer if a short transfer is injected. */
static size_t transfer_length(size_t length) {
    return length > 1 && is_injected(SHORT) ? 1 + length / 3 : length;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (fails(ACCEPT))
        return -1;
    return REAL(int (*)(int, struct sockaddr *, socklen_t *, int), "accept4")(fd, address, length, flags);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    if (fails(BIND))
        return -1;
    return REAL(int (*)(int, const struct sockaddr *, socklen_t), "bind")(fd, address, length);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (fails(CONNECT))
        return -1;
    return REAL(int (*)(int, const struct sockaddr *, socklen_t), "connect")(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && fails(SOCKET))
        return -1;
    return REAL(int (*)(int, int, int), "socket")(domain, type, protocol);
}

int epoll_wait(int epoll, struct epoll_event *events, int max_events, int timeout) {
    if (fails(EPOLL))
        return -1;
    return REAL(int (*)(int, struct epoll_event *, int, int), "epoll_wait")(epoll, events, max_events, timeout);
}

static int open_fails(const char *path) { return strstr(path, "config.json") != NULL && fails(OPEN); }

int open64(const char *path, int flags, ...) {
    if (open_fails(path))
        return -1;
    va_list arguments;
    va_start(arguments, flags);
    int mode = va_arg(arguments, int);
    va_end(arguments);
    return REAL(int (*)(const char *, int, int), "open64")(path, flags, mode);
}

int open(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    int mode = va_arg(arguments, int);
    va_end(arguments);
    return open64(path, flags, mode);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    return REAL(ssize_t (*)(int, void *, size_t, int), "recv")(fd, buffer, transfer_length(length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    return REAL(ssize_t (*)(int, const void *, size_t, int), "send")(fd, buffer, transfer_length(length), flags);
}

/* A short vectored write sends the first buffer only. */
ssize_t writev(int fd, const struct iovec *buffers, int count) {
    if (count > 0 && is_injected(SHORT))
        return REAL(ssize_t (*)(int, const void *, size_t), "write")(fd, buffers[0].iov_base, buffers[0].iov_len);
    return REAL(ssize_t (*)(int, const struct iovec *, int), "writev")(fd, buffers, count);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = (int)syscall(SYS_clock_gettime, clock, time);
    if (clock == CLOCK_REALTIME) {
        refresh_faults();
        time->tv_sec += amounts[CLOCK];
    }
    return result;
}
