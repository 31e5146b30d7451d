/*
 * Loaded into a sidecar process with LD_PRELOAD. Shifts the wall clock and lets system calls on sockets fail as the
 * control file says: a 64-bit step in milliseconds, then a 32-bit number of failures per thousand calls.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct control {
    volatile int64_t step_millis;
    volatile int32_t failures_per_thousand;
    int32_t unused;
};

static struct control none;
static struct control *control = &none;
static __thread unsigned int seed;

__attribute__((constructor)) static void open_control(void) {
    const char *path = getenv("FAULT_SHIM_CONTROL");
    int file = path ? open(path, O_RDONLY) : -1;
    if (file < 0) {
        return;
    }
    void *memory = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (memory != MAP_FAILED) {
        control = memory;
    }
}

static int drawn(void) {
    if (control->failures_per_thousand == 0) {
        return 0;
    }
    if (seed == 0) {
        seed = (unsigned int) (uintptr_t) &seed;
    }
    return rand_r(&seed) % 1000 < control->failures_per_thousand;
}

static int fail(const int *errors, int count) {
    errno = errors[rand_r(&seed) % count];
    return -1;
}

static int is_socket(int descriptor) {
    struct stat status;
    return fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

#define NEXT(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))

int clock_gettime(clockid_t clock, struct timespec *result) {
    static __typeof__(&clock_gettime) next;
    if (!next) {
        next = NEXT(clock_gettime);
    }
    int status = next(clock, result);
    if (status == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        result->tv_sec += control->step_millis / 1000;
        result->tv_nsec += control->step_millis % 1000 * 1000000;
        if (result->tv_nsec >= 1000000000) {
            result->tv_nsec -= 1000000000;
            result->tv_sec++;
        } else if (result->tv_nsec < 0) {
            result->tv_nsec += 1000000000;
            result->tv_sec--;
        }
    }
    return status;
}

int gettimeofday(struct timeval *restrict result, void *restrict zone) {
    struct timespec now;
    (void) zone;
    clock_gettime(CLOCK_REALTIME, &now);
    result->tv_sec = now.tv_sec;
    result->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result) {
        *result = now.tv_sec;
    }
    return now.tv_sec;
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS};
    return domain == AF_INET && drawn() ? fail(errors, 2) : NEXT(socket)(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH};
    return drawn() ? fail(errors, 4) : NEXT(connect)(descriptor, address, length);
}

int accept(int descriptor, struct sockaddr *restrict address, socklen_t *restrict length) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS};
    return drawn() ? fail(errors, 3) : NEXT(accept)(descriptor, address, length);
}

int accept4(int descriptor, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS};
    return drawn() ? fail(errors, 3) : NEXT(accept4)(descriptor, address, length, flags);
}

int epoll_wait(int descriptor, struct epoll_event *events, int count, int timeout) {
    static const int errors[] = {EINTR};
    return drawn() ? fail(errors, 1) : NEXT(epoll_wait)(descriptor, events, count, timeout);
}

ssize_t read(int descriptor, void *buffer, size_t length) {
    if (length > 1 && drawn() && is_socket(descriptor)) {
        length = 1 + rand_r(&seed) % length;
    }
    return NEXT(read)(descriptor, buffer, length);
}

ssize_t write(int descriptor, const void *buffer, size_t length) {
    if (length > 1 && drawn() && is_socket(descriptor)) {
        length = 1 + rand_r(&seed) % length;
    }
    return NEXT(write)(descriptor, buffer, length);
}
