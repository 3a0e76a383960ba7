#ifndef CORNELSHORE_BENCH_SUPPORT_CLASSES_SITES_HPP
#define CORNELSHORE_BENCH_SUPPORT_CLASSES_SITES_HPP

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "bench/support/classes_fleet.hpp"

namespace cornelshore::bench {

/** @brief One class of a measured service. */
struct ClassRow
{
  std::string name_;
  std::uint8_t urgency_{};
  std::uint16_t most_{};
  std::uint16_t keeps_{};
  double hold_{}; ///< Mean seconds in a slot.
};

/** @brief One service with its fleet. */
struct Site
{
  std::string name_;
  std::uint32_t hosts_{};
  std::uint16_t slots_{};
  double oneWay_{}; ///< Seconds between its data centres.
  std::vector<ClassRow> rows_;

  [[nodiscard]] double Slots() const
  {
    return static_cast<double>(hosts_) * slots_;
  }
  /** @brief Slots of the fleet that a class keeps. */
  [[nodiscard]] double Floor(std::size_t aClass) const
  {
    return Slots() * rows_[aClass].keeps_ / kFullShare;
  }
  [[nodiscard]] ServiceTarget Target() const
  {
    ServiceTarget target{ ServiceIdOf(name_), name_, {} };
    for (const auto& row : rows_) {
      target.classes_.push_back({ ClassIdOf(name_, row.name_),
                                  row.name_,
                                  target.id_,
                                  row.urgency_,
                                  row.most_,
                                  row.keeps_,
                                  false });
    }
    return target;
  }
};

/** @brief Tartu's and Antioquia's services; the most urgent class first. */
inline std::vector<Site>
TodaysSites()
{
  constexpr double kTartuOneWay = 0.001;
  constexpr double kAntioquiaOneWay = 0.0005;
  return {
    { "shop_floor",
      7,
      3,
      kTartuOneWay,
      { { "alarms", 9, 500, 200, 0.1 },
        { "submissions", 6, 800, 300, 0.3 },
        { "reports", 1, 600, 100, 0.5 } } },
    { "drawings",
      3,
      3,
      kTartuOneWay,
      { { "views", 7, 800, 300, 0.2 },
        { "sheets", 2, 600, 200, 1.0 },
        { "index", 0, 500, 0, 0.3 } } },
    { "booking",
      7,
      4,
      kAntioquiaOneWay,
      { { "boards", 9, 500, 200, 0.1 },
        { "payments", 7, 800, 350, 0.25 },
        { "chores", 1, 500, 50, 0.5 } } },
    { "statements",
      4,
      4,
      kAntioquiaOneWay,
      { { "lookups", 8, 600, 250, 0.15 },
        { "downloads", 2, 800, 250, 1.5 },
        { "exports", 0, 400, 100, 0.6 } } },
  };
}

/** @brief Scenario of a site without any demand. */
inline Scenario
Quiet(const Site& aSite, std::uint64_t aSeed)
{
  Scenario scenario;
  scenario.target_ = aSite.Target();
  scenario.hosts_ = aSite.hosts_;
  scenario.slots_ = aSite.slots_;
  scenario.oneWay_ = aSite.oneWay_;
  scenario.seed_ = aSeed;
  for (const auto& row : aSite.rows_) {
    Demand demand;
    demand.hold_ = row.hold_;
    scenario.demands_.push_back(demand);
  }
  return scenario;
}

/** @brief Sets a class's demand in slots. */
inline void
Demands(Scenario& aScenario, std::size_t aClass, double aSlots)
{
  auto& demand = aScenario.demands_[aClass];
  demand.rate_ = aSlots / demand.hold_;
}

} // namespace cornelshore::bench

#endif
